package io.moorstage.lab.process;

import java.nio.file.Path;

/** The locations of the files that the build writes. */
public final class Build {
  /** Set by the scripts, so that the lab can be started from any working directory. */
  private static final String ROOT_PROPERTY = "moorstage.root";

  private Build() {}

  /** Returns the root of the repository, or the working directory if the property is not set. */
  public static Path root() {
    return Path.of(System.getProperty(ROOT_PROPERTY, ""));
  }

  /** Returns the jar that the deployment file runs. */
  public static Path jar() {
    return root().resolve("target").resolve("moorstage-forwarding.jar");
  }

  /** Returns the directory for the output files of a command. */
  public static Path output(String command) {
    return root().resolve("target").resolve(command);
  }
}
