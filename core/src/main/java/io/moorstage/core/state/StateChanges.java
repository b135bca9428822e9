package io.moorstage.core.state;

import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * The changes at the configuration source since an earlier revision.
 *
 * @param revision the source's {@link Revision} after these changes
 * @param written targets that are new or have changed
 * @param goneIds ids of targets that are no longer listed, each with the revision of its removal
 * @param configuration a newer configuration, or null if it has not changed
 * @param evacuations evacuations of zones that were set or lifted
 */
public record StateChanges(
    long revision,
    List<TargetRecord> written,
    Map<String, Long> goneIds,
    @Nullable ForwardingConfiguration configuration,
    List<ZoneEvacuation> evacuations) {}
