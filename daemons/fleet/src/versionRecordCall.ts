import type { VersionRecord } from "@knapweedwood/fleet.view/versionRecord";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Returns which software versions a runner has seen; nothing while it may be missing changes. */
export const versionRecordCall = defineCall<Record<string, never>, { record?: VersionRecord; }>("fleet.versions");
