import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { MemberRevision } from "./memberRevision.js";

/** Requests the active revisions of a watcher and of the processes below it. The response is one frame. */
export const zoneStatusCall = defineCall<object, { members: MemberRevision[]; }>("configuration.zone-status");
