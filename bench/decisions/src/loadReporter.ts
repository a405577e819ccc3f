import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { LoadReport } from "@knapweedwood/fleet.load/loadReport";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";

/** Tracks the load that one simulated process sees, and creates the reports that it sends to the other processes. */
export class LoadReporter {
    readonly loadTracker = new LoadTracker();
    private readonly name: InstanceName;
    private readonly waiting: () => LoadReport["waiting"];
    private sequence = 0;

    constructor(name: string, waiting: () => LoadReport["waiting"]) {
        this.name = name as InstanceName;
        this.waiting = waiting;
    }

    /** Returns a report of this process's counts, with the next sequence number. */
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
            teamUsage: { counts: [], levels: [], areLevelsComplete: false },
        };
    }
}
