package io.moorstage.policy;

/**
 * A target as declared in a policy. Its address is not part of the policy; it is set when the
 * target is started.
 *
 * @param name name of the target, unique in the policy
 * @param service name of its service
 * @param zone name of its zone
 * @param slotCount maximum number of requests that it processes concurrently, at least 1
 * @param connectionLimit maximum number of concurrent connections, at least {@code slotCount}
 */
public record PolicyTarget(
    String name, String service, String zone, int slotCount, int connectionLimit) {}
