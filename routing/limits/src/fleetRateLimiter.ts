import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { GatewayPresence } from "./gatewayPresence.js";
import type { GatewayUsage } from "./gatewayUsage.js";
import { LEVEL_STEPS } from "./levelSteps.js";
import type { LimitedTeam } from "./limitedTeam.js";
import { OwnCounts } from "./ownCounts.js";
import { PeerCounts } from "./peerCounts.js";
import type { RateAdmission } from "./rateAdmission.js";
import type { TeamLevel } from "./teamLevel.js";
import { TeamMeter } from "./teamMeter.js";
import type { TeamUsage } from "./teamUsage.js";

interface FleetRateLimiterOptions {
    /** Start of this process, in the time of `nowMs`. */
    startedAtMs: number;
    /** Returns whether there are teams. Otherwise nothing is reported. */
    isLimiting: () => boolean;
    /** Returns the other gateways that are listed, shape [gateways]. */
    listedPeers: () => readonly InstanceName[];
    /** Returns a team by its id; undefined if the configuration has none. */
    teamOf: (teamId: TeamId) => LimitedTeam | undefined;
    /** Called when requests of limited teams begin to arrive somewhere, so that this gateway has to report soon. */
    onActive: () => void;
}

interface LimiterView {
    /** Share of the limits that this gateway may use, in (0, 1]. */
    share: number;
    /** Age of the oldest last report of a listed gateway, in milliseconds. */
    oldestReportAgeMs: number;
}

/**
 * Time for which unknown buckets are assumed to have been full at the start of this process, in milliseconds. It is the
 * window for which the limits are guaranteed.
 */
const START_MS = 5000;
/** Time for which a gateway that was silent gets the levels and all counts, in milliseconds. */
const CATCH_UP_MS = 300;
/** Time after the levels became known for which they contain the first counts of peers, in milliseconds. */
const LEVELS_SETTLE_MS = 700;
/** Time between two reports of the levels, in milliseconds, and the maximum number of levels in one. */
const LEVELS_INTERVAL_MS = 100;
const MAX_LEVELS = 80;
/** Smallest share of the gateways that has to be heard for the local levels to be reported. */
const MIN_LEVELS_SHARE = 0.5;
const EXPIRY_INTERVAL_MS = 5000;
/** Time between reports while requests of limited teams arrive, and otherwise, in milliseconds. */
const ACTIVE_INTERVAL_MS = 100;
const IDLE_INTERVAL_MS = 300;

/**
 * Admits the requests of limited teams at one of several gateways that share the limits without a central process. Each
 * gateway meters the requests of all, its own at once and those of the others from their reports, so any gateway may use
 * the whole limit. Gateways that can't hear each other use separate shares. docs/design/limits.md derives the bounds.
 */
export class FleetRateLimiter {
    private readonly opts: FleetRateLimiterOptions;
    private readonly presence: GatewayPresence;
    private readonly ownCounts = new OwnCounts<TeamId>();
    private readonly peerCounts = new PeerCounts<TeamId>();
    private readonly meters = new Map<TeamId, TeamMeter>();
    /** Time at which a peer reported the complete levels; undefined until then. */
    private levelsKnownAtMs: number | undefined;
    private catchUpUntilMs = -Infinity;
    private levelsSentAtMs = -Infinity;
    private expiredAtMs = -Infinity;

    constructor(opts: FleetRateLimiterOptions) {
        this.opts = opts;
        this.presence = new GatewayPresence(opts);
    }

    /** Admits a request and counts it, or rejects it. Returns undefined for a team without a limit. */
    tryAdmit(team: LimitedTeam, nowMs: number): RateAdmission | undefined {
        if (team.requestsPerSecond === undefined) {
            return undefined;
        }
        this.advance(nowMs);
        const meter = this.meterOf(team, nowMs);
        const time = this.timeAt(nowMs);
        const { meteredMs } = time;
        this.recordActivity(nowMs);
        const waitMs = meter.waitMs(time);
        if (waitMs > 0) {
            const retryAfterMs = meter.reject(waitMs, time);
            return { teamId: team.id, isAdmitted: false, retryAfterMs, level: meter.level(meteredMs), drainedAtMs: 0 };
        }
        meter.take(time);
        this.ownCounts.add(team.id, 1, nowMs);
        return {
            teamId: team.id,
            isAdmitted: true,
            retryAfterMs: 0,
            level: meter.level(meteredMs),
            drainedAtMs: meteredMs + meter.drainMs(meteredMs),
        };
    }

    /**
     * Returns the place of an admitted request that has not run. A request that has drained from the bucket meanwhile
     * has no place any more; returning it would admit more than the limit within a window.
     */
    release({ teamId, isAdmitted, drainedAtMs }: RateAdmission, nowMs: number): void {
        this.advance(nowMs);
        const { meteredMs } = this.presence;
        if (isAdmitted && meteredMs < drainedAtMs) {
            this.meters.get(teamId)?.release(meteredMs);
            this.ownCounts.add(teamId, -1, nowMs);
        }
    }

    /** Returns what the next report of this gateway tells the others. */
    usageToReport(nowMs: number): TeamUsage {
        if (!this.opts.isLimiting()) {
            return { counts: [], levels: [], areLevelsComplete: false };
        }
        this.advance(nowMs);
        const isCatchingUp = nowMs < this.catchUpUntilMs;
        return { counts: this.ownCounts.toReport(nowMs, isCatchingUp), ...this.levelsToReport(nowMs) };
    }

    /** Applies the report of another process. */
    apply(usage: GatewayUsage, nowMs: number): void {
        const { instanceName, teamUsage } = usage;
        const isGateway = teamUsage.counts.length > 0 || this.opts.listedPeers().includes(instanceName);
        if (!isGateway || !this.opts.isLimiting()) {
            return;
        }
        this.advance(nowMs);
        const isSettling = this.levelsKnownAtMs !== undefined && nowMs < this.levelsKnownAtMs + LEVELS_SETTLE_MS;
        const applied = this.peerCounts.apply({ ...usage, counts: teamUsage.counts }, isSettling, nowMs);
        if (applied === undefined) {
            return;
        }
        if (this.presence.onHeard(instanceName, nowMs) || applied.isNewProcess) {
            this.catchUpUntilMs = nowMs + CATCH_UP_MS;
        }
        if (applied.changes.length > 0) {
            this.recordActivity(nowMs);
        }
        const time = this.timeAt(nowMs);
        applied.changes.forEach(({ id: teamId, change, isOld }) => {
            const meter = this.knownMeter(teamId, nowMs);
            if (isOld) {
                meter?.addOldPeerChange(change, time.meteredMs);
            }
            else {
                meter?.addPeerChange(change, time);
            }
        });
        this.applyLevels(teamUsage, nowMs);
    }

    /** Returns the time until the next report is due without a change, in milliseconds. */
    reportIntervalMs(nowMs: number): number {
        return this.presence.isActive(nowMs) || nowMs < this.catchUpUntilMs ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS;
    }

    /** Returns the state by which requests are admitted now. */
    viewAt(nowMs: number): LimiterView {
        return { share: this.presence.share, oldestReportAgeMs: this.presence.oldestReportAgeMs(nowMs) };
    }

    /** Number of teams with state. */
    get meterCount(): number {
        return this.meters.size;
    }

    private advance(nowMs: number): void {
        this.presence.advance(nowMs);
        if (nowMs >= this.expiredAtMs + EXPIRY_INTERVAL_MS) {
            this.expiredAtMs = nowMs;
            this.ownCounts.expire(nowMs);
            this.peerCounts.expire(nowMs);
            [...this.meters]
                .filter(([teamId, meter]) => this.isUnneeded(teamId, meter, nowMs))
                .forEach(([teamId]) => this.meters.delete(teamId));
        }
    }

    private isUnneeded(teamId: TeamId, meter: TeamMeter, nowMs: number): boolean {
        return meter.isIdle(nowMs, this.presence.meteredMs)
            || this.opts.teamOf(teamId)?.requestsPerSecond === undefined;
    }

    private recordActivity(nowMs: number): void {
        if (this.presence.onActivity(nowMs)) {
            this.opts.onActive();
        }
    }

    private timeAt(nowMs: number) {
        const { meteredMs, share } = this.presence;
        return { nowMs, meteredMs, share };
    }

    /** Returns a team's meter. A new one is empty if the levels are known, otherwise full at the start of this process. */
    private meterOf(team: LimitedTeam, nowMs: number): TeamMeter {
        const { meteredMs } = this.presence;
        const known = this.meters.get(team.id);
        if (known !== undefined) {
            known.setLimit(team, meteredMs);
            return known;
        }
        const meter = new TeamMeter({ ratePerSecond: team.requestsPerSecond!, burst: Math.max(1, team.burst) });
        if (!this.areLevelsKnown(nowMs)) {
            meter.fill(meteredMs);
        }
        this.meters.set(team.id, meter);
        return meter;
    }

    private knownMeter(teamId: TeamId, nowMs: number): TeamMeter | undefined {
        const team = this.opts.teamOf(teamId);
        return team?.requestsPerSecond === undefined ? undefined : this.meterOf(team, nowMs);
    }

    private areLevelsKnown(nowMs: number): boolean {
        return this.levelsKnownAtMs !== undefined || nowMs >= this.opts.startedAtMs + START_MS;
    }

    private levelsToReport(nowMs: number): Pick<TeamUsage, "levels" | "areLevelsComplete"> {
        const { meteredMs, share } = this.presence;
        const isDue = nowMs < this.catchUpUntilMs && nowMs >= this.levelsSentAtMs + LEVELS_INTERVAL_MS;
        if (!isDue || !this.areLevelsKnown(nowMs) || share < MIN_LEVELS_SHARE) {
            return { levels: [], areLevelsComplete: false };
        }
        this.levelsSentAtMs = nowMs;
        const levels = [...this.meters]
            .map(([teamId, meter]) => ({
                teamId,
                level: Math.ceil(meter.level(meteredMs) * LEVEL_STEPS) / LEVEL_STEPS,
            }))
            .filter(({ level }) => level > 0)
            .sort((left, right) => right.level - left.level);
        return { levels: levels.slice(0, MAX_LEVELS), areLevelsComplete: levels.length <= MAX_LEVELS };
    }

    /**
     * Takes the levels from the first peer that reports them after the start of this process. Own requests are added,
     * since the peer may not know them yet.
     */
    private applyLevels({ levels, areLevelsComplete }: TeamUsage, nowMs: number): void {
        if (this.areLevelsKnown(nowMs)) {
            return;
        }
        const { meteredMs } = this.presence;
        (areLevelsComplete ? this.withEmptyMeters(levels) : levels).forEach(({ teamId, level }) =>
            this.knownMeter(teamId, nowMs)?.setLevel(level + this.ownCounts.admitted(teamId), meteredMs)
        );
        this.levelsKnownAtMs = areLevelsComplete ? nowMs : undefined;
    }

    private withEmptyMeters(levels: readonly TeamLevel[]): TeamLevel[] {
        const listed = new Set(levels.map(({ teamId }) => teamId));
        const empty = [...this.meters.keys()].filter(teamId => !listed.has(teamId));
        return [...levels, ...empty.map(teamId => ({ teamId, level: 0 }))];
    }
}
