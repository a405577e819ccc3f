import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { SideStatus } from "./sideStatus.js";

/** Notifies the entries linked to a side of its status: on each change and once a second. */
export const sideStatusNotification = defineNotification<SideStatus>("inference.side-status");
