import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Requests the active root. The response is one frame, without a root if the peer has no configuration yet. */
export const fetchRootCall = defineCall<object, { root?: ConfigurationRoot; }>("configuration.fetch-root");
