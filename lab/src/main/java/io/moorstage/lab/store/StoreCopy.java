package io.moorstage.lab.store;

import io.moorstage.lab.edge.StoreItem;
import java.util.SortedMap;

/**
 * A copy of the store's items and revision at one time.
 *
 * @param items the items by key
 * @param revision the store's revision at that time
 */
public record StoreCopy(SortedMap<String, StoreItem> items, long revision) {}
