package io.moorstage.lab.process;

import io.moorstage.platform.Launcher;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The command line that starts a program.
 *
 * @param arguments the executable and all arguments before the program's name
 */
public record LaunchCommand(List<String> arguments) {
  /** The heap limit that the deployment file sets for an agent, and its flags for a fast start. */
  private static final List<String> OPTIONS =
      List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  /** Returns the command that starts programs from a jar, as the deployment file does. */
  public static LaunchCommand ofJar(Path jar) {
    return withOptions("-jar", jar.toString());
  }

  /** Returns the command that starts programs from this process's class path; needs no jar. */
  public static LaunchCommand ofOwnClasses() {
    return withOptions("-cp", System.getProperty("java.class.path"), Launcher.class.getName());
  }

  private static LaunchCommand withOptions(String... program) {
    List<String> arguments = new ArrayList<>();
    arguments.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    arguments.addAll(OPTIONS);
    arguments.addAll(List.of(program));
    return new LaunchCommand(List.copyOf(arguments));
  }

  /** Returns the full command line for one program. */
  List<String> forProgram(String program) {
    List<String> all = new ArrayList<>(arguments);
    all.add(program);
    return all;
  }
}
