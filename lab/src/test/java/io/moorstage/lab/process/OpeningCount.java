package io.moorstage.lab.process;

import io.moorstage.lab.targets.TargetListener;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the flows that open at a target, and returns the same response to each request. */
final class OpeningCount implements TargetListener {
  private final AtomicInteger opened = new AtomicInteger();

  int get() {
    return opened.get();
  }

  @Override
  public void onOpened(ByteBuffer packet) {
    opened.incrementAndGet();
  }

  @Override
  public String runRequest(String request) {
    return "answer";
  }
}
