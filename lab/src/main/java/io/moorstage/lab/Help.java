package io.moorstage.lab;

import com.beust.jcommander.Parameter;

/** The help option, which the program and each of its commands accept. */
final class Help {
  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show the options and exit codes")
  private boolean requested;

  boolean isRequested() {
    return requested;
  }
}
