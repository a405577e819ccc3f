import type { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import type { EntryProcessOptions } from "./entryProcessOptions.js";

/** Options of an entry together with the components that its other parts share. */
export interface EntryComponents extends EntryProcessOptions {
    endpoint: LinkEndpoint;
    watcher: InstanceWatcher;
    configuration: DistributedConfiguration;
}
