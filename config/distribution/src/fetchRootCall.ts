import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Asks for the root in force; one frame, without a root where the peer has none yet. */
export const fetchRootCall = defineCall<object, { root?: ConfigurationRoot; }>("configuration.fetch-root");
