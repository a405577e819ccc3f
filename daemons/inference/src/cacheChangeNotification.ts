import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { CacheChange } from "./cacheChange.js";

/** Notifies the entries linked to a side of a change in the engine's prefix cache. The side limits the rate. */
export const cacheChangeNotification = defineNotification<CacheChange>("inference.cache-change");
