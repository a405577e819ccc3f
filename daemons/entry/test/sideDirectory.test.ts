import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { SideStatus } from "@knapweedwood/daemons.inference/sideStatus";
import type { Link } from "@knapweedwood/links.calls/link";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { InstanceWatcher } from "@knapweedwood/routing.instance-watch/instanceWatcher";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SideDirectory } from "../src/sideDirectory.js";

const service = "plates" as ServiceName;
const instanceId = "side-1" as InstanceId;
const record: InstanceRecord = {
    instanceId,
    kind: "side",
    region: "region" as RegionName,
    zone: "zone-1" as ZoneName,
    address: "127.0.0.1:1",
    state: "live",
    service,
    hasDataFolder: false,
};
const status: SideStatus = {
    instanceId,
    service,
    state: "live",
    isHealthy: true,
    models: undefined,
    role: "any",
    onlineRunning: 0,
    onlineQueued: 0,
    batchRunning: 0,
    batchQueued: 0,
    revision: 1,
};

function directoryWith(link: { state: Link["state"]; }): SideDirectory {
    let sendStatus: (status: SideStatus) => void = () => undefined;
    let sendList: (records: InstanceRecord[]) => void = () => undefined;
    const endpoint = {
        handleNotification: (_definition: unknown, receiver: (message: SideStatus) => void) => {
            sendStatus = receiver;
        },
        connect: () => link,
    };
    const watcher = {
        subscribe: (listener: (records: InstanceRecord[]) => void) => {
            sendList = listener;
        },
    };
    const directory = new SideDirectory({
        endpoint: endpoint as unknown as LinkEndpoint,
        watcher: watcher as unknown as InstanceWatcher,
        clock: new ManualClock(),
        selectSubset: records => records,
    });
    sendList([record]);
    sendStatus(status);
    return directory;
}

test("a side with a suspect link, which missed a heartbeat, stays a candidate; a side without a link does not", () => {
    const link: { state: Link["state"]; } = { state: "open" };
    const directory = directoryWith(link);
    const candidatesAt = (state: Link["state"]) => {
        link.state = state;
        return directory.candidates(service).map(side => side.record.instanceId);
    };
    assert.deepEqual(candidatesAt("open"), [instanceId]);
    assert.deepEqual(candidatesAt("suspect"), [instanceId]);
    assert.deepEqual(candidatesAt("connecting"), []);
    assert.deepEqual(candidatesAt("closed"), []);
});
