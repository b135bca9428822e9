package io.moorstage.lab.edge;

import javax.annotation.Nullable;

/**
 * An item of the store, or the removal of one.
 *
 * @param key key of the item
 * @param value text of the item; null if the item was removed
 * @param created revision at which the item was created
 * @param revision revision of the item's last change
 */
public record StoreItem(String key, @Nullable String value, long created, long revision) {}
