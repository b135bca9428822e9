package io.moorstage.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.MissingCommandException;
import com.beust.jcommander.ParameterException;
import io.moorstage.lab.bench.FlowMemory;
import io.moorstage.lab.check.CheckCommand;
import io.moorstage.lab.demo.DemoCommand;
import io.moorstage.lab.process.NotReadyException;
import io.moorstage.lab.soak.SoakCommand;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Runs one command of the lab; its exit code is one of {@link ExitCode}. */
public final class Lab {
  /** An argument that is an option's name. Negative numbers don't match; they are values. */
  private static final Pattern OPTION = Pattern.compile("--?[A-Za-z].*");

  private static final String EXIT_CODES =
      "Exit codes: 0 success, 1 failure or a violation found, 2 invalid usage.";

  private final Map<String, LabCommand> commands = new LinkedHashMap<>();
  private final Help help = new Help();
  private final Help commandHelp = new Help();
  private final JCommander parser;

  Lab() {
    commands.put("demo", new DemoCommand());
    commands.put("soak", new SoakCommand());
    commands.put("check", new CheckCommand());
    commands.put("flow-memory", new FlowMemory());
    parser = JCommander.newBuilder().programName("moorstage").addObject(help).build();
    commands.forEach(
        (name, command) -> parser.addCommand(name, new Object[] {command, commandHelp}));
  }

  /** Runs the command that the arguments name and exits the process. */
  public static void main(String[] arguments) {
    System.exit(new Lab().run(arguments));
  }

  /** Runs one command and returns its exit code. */
  int run(String... arguments) {
    try {
      parse(arguments);
      return help.isRequested() || commandHelp.isRequested() ? showHelp() : runCommand();
    } catch (UsageException e) {
      System.err.println("failure=" + e.kind().code() + " detail=\"" + e.getMessage() + '"');
      System.err.println("usage: moorstage COMMAND [OPTIONS]; moorstage --help lists them");
      return ExitCode.USAGE;
    }
  }

  private void parse(String... arguments) throws UsageException {
    try {
      parser.parse(arguments);
      rejectUnknownOptions(arguments);
    } catch (MissingCommandException e) {
      throw new UsageException(UsageException.Kind.UNKNOWN_COMMAND, e.getUnknownCommand());
    } catch (ParameterException e) {
      rejectUnknownOptions(arguments);
      throw new UsageException(UsageException.Kind.BAD_OPTION, e.getMessage());
    }
  }

  // The parser accepts unknown options as positional arguments.
  private void rejectUnknownOptions(String... arguments) throws UsageException {
    JCommander command = parser.getCommands().get(parser.getParsedCommand());
    if (command == null) {
      return;
    }
    for (String argument : arguments) {
      if (OPTION.matcher(argument).matches() && !hasOption(command, argument)) {
        throw new UsageException(UsageException.Kind.UNKNOWN_OPTION, argument);
      }
    }
  }

  private static boolean hasOption(JCommander command, String name) {
    return command.getParameters().stream()
        .anyMatch(parameter -> List.of(parameter.getParameter().names()).contains(name));
  }

  private int showHelp() {
    String command = parser.getParsedCommand();
    if (command == null) {
      parser.usage();
    } else {
      parser.getUsageFormatter().usage(command);
    }
    System.out.println(EXIT_CODES);
    return ExitCode.DONE;
  }

  private int runCommand() throws UsageException {
    String name = parser.getParsedCommand();
    if (name == null) {
      throw new UsageException(
          UsageException.Kind.NO_COMMAND, String.join(", ", commands.keySet()));
    }
    try {
      return commands.get(name).run();
    } catch (IOException | NotReadyException e) {
      System.err.println("failure=" + name + " detail=\"" + e + '"');
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
