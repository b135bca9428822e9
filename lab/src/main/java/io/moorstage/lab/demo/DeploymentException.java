package io.moorstage.lab.demo;

/** Thrown if a policy has too few zones or targets for a demonstration. */
public final class DeploymentException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception that names what the policy lacks. */
  DeploymentException(String requirement) {
    super("a demonstration needs " + requirement);
  }
}
