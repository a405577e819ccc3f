import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { CacheChange } from "./cacheChange.js";

/** Sent by a side to the entries linked to it, within a bounded rate. */
export const cacheChangeNotification = defineNotification<CacheChange>("inference.cache-change");
