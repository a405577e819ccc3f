import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { LoadReport } from "@knapweedwood/fleet.load/loadReport";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";

/** Tracks the load that one simulated process sees, and creates the reports that it sends to the other processes. */
export class LoadReporter {
    readonly loadTracker = new LoadTracker();
    private readonly name: InstanceName;
    private readonly waiting: () => LoadReport["waiting"];
    private readonly speeds: UpstreamSpeeds | undefined;
    private sequence = 0;

    /** @param speeds the speeds that the process has learned; undefined if it learns none */
    constructor(name: string, waiting: () => LoadReport["waiting"], speeds?: UpstreamSpeeds) {
        this.name = name as InstanceName;
        this.waiting = waiting;
        this.speeds = speeds;
    }

    /** Returns a report of this process's counts, with the next sequence number. */
    createReport(): LoadReport {
        this.sequence += 1;
        const counts = this.loadTracker.ownCounts().map(count => ({ ...count }));
        return {
            instanceName: this.name,
            startedAtMs: 0,
            sequence: this.sequence,
            isKeyValueReachable: true,
            counts,
            ejected: [],
            waiting: this.waiting(),
            configurationRevision: 0,
            upstreamsRevision: 0,
            jobsRevision: 0,
            leader: undefined,
            ...this.speeds === undefined ? {} : { speeds: this.speeds.reported(counts) },
            teamUsage: { counts: [], levels: [], areLevelsComplete: false },
            upstreamUsage: { counts: [], limits: [] },
            leaving: [],
        };
    }
}
