import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { SideStatus } from "./sideStatus.js";

/** Sent by a side to the entries linked to it, when it changes and once a second. */
export const sideStatusNotification = defineNotification<SideStatus>("inference.side-status");
