import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { LoadReport } from "@knapweedwood/fleet.load/loadReport";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";

/** The load board of one process, and its reports to the others. */
export class LoadReporter {
    readonly loadTracker = new LoadTracker();
    private readonly name: InstanceName;
    private readonly waiting: () => LoadReport["waiting"];
    private sequence = 0;

    constructor(name: string, waiting: () => LoadReport["waiting"]) {
        this.name = name as InstanceName;
        this.waiting = waiting;
    }

    createReport(): LoadReport {
        this.sequence += 1;
        return {
            instanceName: this.name,
            startedAtMs: 0,
            sequence: this.sequence,
            isKeyValueReachable: true,
            counts: this.loadTracker.ownCounts().map(count => ({ ...count })),
            ejected: [],
            waiting: this.waiting(),
            configurationRevision: 0,
            upstreamsRevision: 0,
            jobsRevision: 0,
            leader: undefined,
        };
    }
}
