package io.moorstage.core.state;

import java.util.List;
import java.util.Map;
import javax.annotation.Nullable;

/**
 * What has changed at the configuration source since an earlier revision.
 *
 * @param revision the source's {@link Revision} up to which these changes lead
 * @param written targets that are new or have changed
 * @param goneIds targets that are no longer listed, with the revision at which they went
 * @param configuration a newer configuration, or null if it has not changed
 * @param evacuations evacuations of zones that were set or lifted
 */
public record StateChanges(
    long revision,
    List<TargetRecord> written,
    Map<String, Long> goneIds,
    @Nullable ForwardingConfiguration configuration,
    List<ZoneEvacuation> evacuations) {}
