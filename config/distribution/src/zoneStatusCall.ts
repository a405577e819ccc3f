import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { MemberRevision } from "./memberRevision.js";

/** Asks a watcher what is in force at itself and below it; one frame. */
export const zoneStatusCall = defineCall<object, { members: MemberRevision[]; }>("configuration.zone-status");
