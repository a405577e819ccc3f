import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { LoadReport } from "@knapweedwood/fleet.load/loadReport";
import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { PeerEjections } from "@knapweedwood/fleet.load/peerEjections";
import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import type { UpstreamRequestLimiter } from "@knapweedwood/fleet.upstream-limits/upstreamRequestLimiter";
import type { MirrorVerification } from "@knapweedwood/fleet.view/mirrorVerification";
import type { MirrorVerifications } from "@knapweedwood/fleet.view/mirrorVerifications";
import type { FleetRateLimiter } from "@knapweedwood/routing.limits/fleetRateLimiter";
import type { OperatorsFollower } from "./operatorsFollower.js";
import type { PeerFollower } from "./peerFollower.js";
import type { UpstreamFollower } from "./upstreamFollower.js";

/** Age up to which verifications are reported, in milliseconds. Processes that place nothing get a report a second. */
const REPORTED_VERIFICATION_AGE_MS = 1000;

interface LoadReportsOptions {
    clock: Clock;
    self: MemberRecord;
    loadTracker: LoadTracker;
    health: UpstreamHealth;
    speeds: UpstreamSpeeds;
    peers: PeerFollower;
    operators: OperatorsFollower;
    upstreams: UpstreamFollower;
    /** Returns the number of online requests queued in this process, shape [services]. */
    waiting: () => LoadReport["waiting"];
    isKeyValueReachable: () => boolean;
    /** Meters the requests of limited teams. Runners admit none, and report none. */
    rateLimiter: FleetRateLimiter;
    limits: UpstreamRequestLimiter;
    /** Called with the revision at which another process last wrote a job. */
    onJobsWritten: (revision: number) => void;
    /** Called with a process that knows a newer configuration. */
    onNewerConfiguration: (peer: InstanceName) => void;
    /** Called when a report has changed the known load. */
    onLoadChanged: () => void;
}

/** Creates the load reports of this process, and applies those of its peers to what it knows of the fleet. */
export class LoadReports {
    private readonly opts: LoadReportsOptions;
    private readonly ejections = new PeerEjections();
    private sequence = 0;
    private jobsRevision = 0;

    constructor(opts: LoadReportsOptions) {
        this.opts = opts;
    }

    /** Records the revision at which this process last wrote a job. */
    recordJobsWritten(revision: number): void {
        this.jobsRevision = Math.max(this.jobsRevision, revision);
    }

    /** Returns the next report of this process. */
    create(): LoadReport {
        const { self, clock, loadTracker, health, speeds, operators, upstreams, peers } = this.opts;
        this.sequence += 1;
        const counts = loadTracker.ownCounts();
        return {
            instanceName: self.instanceName,
            startedAtMs: self.startedAtMs,
            sequence: this.sequence,
            isKeyValueReachable: this.opts.isKeyValueReachable(),
            counts,
            ejected: health.locallyEjectedIds(clock.nowMs()),
            waiting: this.opts.waiting(),
            configurationRevision: operators.configurationRevision,
            jobsRevision: this.jobsRevision,
            upstreamsRevision: upstreams.changeRevision,
            leader: peers.leadership.leader,
            speeds: speeds.reported(counts),
            teamUsage: this.opts.rateLimiter.usageToReport(clock.nowMs()),
            upstreamUsage: this.opts.limits.usageToReport(),
            leaving: upstreams.leavingToReport(),
            verifications: this.verificationsToReport(),
        };
    }

    /** Applies the report of a peer. One that is older than the last report of that peer is ignored. */
    apply(report: LoadReport): void {
        const { clock, self, loadTracker, speeds, operators, upstreams, peers } = this.opts;
        if (!loadTracker.apply(report, clock.nowMs())) {
            return;
        }
        peers.lookUpIfUnknown(report.instanceName);
        this.applyEjections(report);
        speeds.apply(report);
        this.opts.limits.apply(report);
        report.leaving.forEach(upstream => upstreams.onLeavingAtPeer(upstream, report.instanceName));
        if (self.role === "gateway") {
            this.opts.rateLimiter.apply(report, clock.nowMs());
        }
        if (report.leader !== undefined) {
            peers.leadership.recordLeader(report.leader);
        }
        if (report.jobsRevision > 0) {
            this.opts.onJobsWritten(report.jobsRevision);
        }
        if (report.configurationRevision > operators.configurationRevision) {
            this.opts.onNewerConfiguration(report.instanceName);
        }
        operators.mirror.catchUp(report.configurationRevision);
        upstreams.mirror.catchUp(report.upstreamsRevision);
        this.applyVerifications(report.verifications ?? {});
        this.opts.onLoadChanged();
    }

    /** Returns what the key-value service said to this process a short time ago. */
    private verificationsToReport(): MirrorVerifications {
        const { operators, upstreams, peers } = this.opts;
        const [ofOperators, ofUpstreams, ofProcesses] = [operators, upstreams, peers]
            .map(({ mirror: { verification } }) => isRecent(verification) ? verification : undefined);
        return {
            ...ofOperators === undefined ? {} : { operators: ofOperators },
            ...ofUpstreams === undefined ? {} : { upstreams: ofUpstreams },
            ...ofProcesses === undefined ? {} : { processes: ofProcesses },
        };
    }

    private applyVerifications({ operators, upstreams, processes }: MirrorVerifications): void {
        if (operators !== undefined) {
            this.opts.operators.mirror.recordVerification(operators);
        }
        if (upstreams !== undefined) {
            this.opts.upstreams.mirror.recordVerification(upstreams);
        }
        if (processes !== undefined) {
            this.opts.peers.mirror.recordVerification(processes);
        }
    }

    private applyEjections(report: LoadReport): void {
        const { clock, self, health, peers } = this.opts;
        const nowMs = clock.nowMs();
        this.ejections.apply(report).forEach(id => {
            const isSameZone = peers.zoneOf(report.instanceName) === self.zone;
            health.onPeerEjection(id, { isSameZone, nowMs });
        });
    }
}

function isRecent(verification: MirrorVerification | undefined): boolean {
    return verification !== undefined && verification.ageMs <= REPORTED_VERIFICATION_AGE_MS;
}
