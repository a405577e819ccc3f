import type { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import type { EntryProcessOptions } from "./entryProcessOptions.js";

/** What the parts of an entry are made of, besides its options. */
export interface EntryComponents extends EntryProcessOptions {
    endpoint: LinkEndpoint;
    watcher: InstanceWatcher;
    configuration: DistributedConfiguration;
}
