package io.moorstage.node.command;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A daemon as its own process, with the exit codes that the operating system sees. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class DaemonProcessTest {

  @Test
  void sigtermIsAPlannedStopThatEndsWithZero() throws Exception {
    Process process = start("--stop.grace-seconds", "7", "--node.admin-port", "0");
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
      List<String> output = new ArrayList<>();
      readUntil(lines, "event=daemon-started", output);
      // Process.destroy() would also close the output that is read below.
      process.toHandle().destroy();
      readUntil(lines, "event=daemon-stopped", output);
      assertThat(process.waitFor()).isEqualTo(ExitCode.OK.number());
      assertThat(output).contains(StoppableDaemonMain.STOPPED + "7");
    }
  }

  @Test
  void sigtermDuringTheStartIsAPlannedStopToo() throws Exception {
    Process process = start("--stop.grace-seconds", "7", "--node.admin-port", "0");
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
      List<String> output = new ArrayList<>();
      readUntil(lines, StoppableDaemonMain.STARTING, output);
      process.toHandle().destroy();
      readUntil(lines, "event=daemon-stopped", output);
      assertThat(process.waitFor()).isEqualTo(ExitCode.OK.number());
      assertThat(output).contains(StoppableDaemonMain.STOPPED + "7");
    }
  }

  @Test
  void aTakenPortIsToldInOneLineAndStopsTheDaemonAgain() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      String port = Integer.toString(taken.getLocalPort());
      Process process = start("--node.admin-port", port);
      String output = new String(process.getInputStream().readAllBytes(), UTF_8);
      assertThat(process.waitFor()).isEqualTo(ExitCode.CANNOT_START.number());
      assertThat(output).contains("\ncannot-bind: admin port 127.0.0.1:" + port + "\n");
      assertThat(output).contains(StoppableDaemonMain.STOPPED + "0");
      assertThat(output).doesNotContain("\tat ");
    }
  }

  private static Process start(String... flags) throws IOException {
    List<String> line = new ArrayList<>();
    line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    line.addAll(List.of("-Xmx64m", "-cp", System.getProperty("java.class.path")));
    line.add(StoppableDaemonMain.class.getName());
    line.addAll(List.of("balancer", "--node.id", "b1", "--node.zone", "lac"));
    line.addAll(List.of("--node.bind", "127.0.0.1", "--group.key", "ab".repeat(32)));
    line.addAll(List.of("--group.voters", "b1=127.0.0.1:7400"));
    line.addAll(List.of(flags));
    return new ProcessBuilder(line).redirectErrorStream(true).start();
  }

  private static void readUntil(BufferedReader lines, String text, List<String> output)
      throws IOException {
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      output.add(line);
      if (line.contains(text)) {
        return;
      }
    }
    throw new IOException("ended without " + text + ": " + output);
  }
}
