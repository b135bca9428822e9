package io.moorstage.lab.store;

import io.moorstage.lab.edge.StoreItem;
import java.util.SortedMap;

/**
 * A copy of all that the store holds at one moment.
 *
 * @param items the items by their keys
 * @param revision the store's revision at that moment
 */
public record StoreCopy(SortedMap<String, StoreItem> items, long revision) {}
