import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Random } from "@knapweedwood/core.random/random";
import { compareUrgency } from "./compareUrgency.js";
import { compareWithinTeam } from "./compareWithinTeam.js";
import { FairShares } from "./fairShares.js";
import type { RankedRequest } from "./rankedRequest.js";
import { TeamQueue } from "./teamQueue.js";
import type { TeamWeights } from "./teamWeights.js";
import type { Urgency } from "./urgency.js";
import { urgencyClassOf } from "./urgencyClassOf.js";
import type { WaitingRequest } from "./waitingRequest.js";

type TeamKey = TeamId | undefined;

/**
 * The waiting requests of one service. Between teams, requests of one class are ordered by fair shares, and within a team
 * by urgency. Without teams all are ordered by urgency.
 */
export class ServiceQueue {
    readonly service: ServiceName;
    private readonly weights: TeamWeights;
    private readonly random: Random;
    private readonly shares: FairShares;
    private readonly teams = new Map<TeamKey, TeamQueue>();
    private count = 0;

    /** @param opts.random balances the trees of requests; no decision depends on it */
    constructor(opts: { service: ServiceName; weights: TeamWeights; random: Random; }) {
        this.service = opts.service;
        this.weights = opts.weights;
        this.random = opts.random;
        this.shares = new FairShares(opts.weights);
    }

    get size(): number {
        return this.count;
    }

    add(waiting: WaitingRequest): void {
        const team = this.teams.get(waiting.teamId) ?? new TeamQueue(this.random);
        this.teams.set(waiting.teamId, team);
        team.add(waiting);
        this.count += 1;
    }

    remove(waiting: WaitingRequest): void {
        const team = this.teams.get(waiting.teamId)!;
        team.remove(waiting);
        this.count -= 1;
        if (team.size === 0) {
            this.teams.delete(waiting.teamId);
        }
    }

    /** Records that a request of the team has arrived. */
    recordArrival(teamId: TeamKey, nowMs: number): void {
        if (this.weights.hasTeams) {
            this.shares.recordArrival(teamId, nowMs);
        }
    }

    /** Records that a request of the team takes a slot, also if it hasn't waited. */
    recordPlaced(teamId: TeamKey, nowMs: number): void {
        if (this.weights.hasTeams) {
            this.shares.recordPlaced(teamId, nowMs);
        }
    }

    /** Records that a request of the team found no free slot when it arrived. */
    recordUnplaced(teamId: TeamKey, nowMs: number): void {
        if (this.weights.hasTeams) {
            this.shares.recordUnplaced(teamId, nowMs);
        }
    }

    /** Returns the share of the slots that a team leaves free for the others, 0 to 1. */
    reservedShareOf(teamId: TeamKey, nowMs: number): number {
        return this.weights.hasTeams ? this.shares.reservedShareOf(teamId, nowMs) : 0;
    }

    /**
     * Returns the request that is served next, of the teams and software versions that may be served.
     *
     * @param opts.lateBeforeMs requests with an earlier objective are late
     * @param opts.mayUse undefined if requests of all software versions may be served
     */
    first(opts: {
        lateBeforeMs: number;
        mayServe: (teamId: TeamKey) => boolean;
        mayUse: ((softwareVersion: SoftwareVersion | undefined) => boolean) | undefined;
    }): RankedRequest | undefined {
        const { hasTeams } = this.weights;
        const { lateBeforeMs, mayUse } = opts;
        const query = { lateBeforeMs, mayUse, order: hasTeams ? compareWithinTeam : compareUrgency };
        return [...this.teams]
            .filter(([teamId]) => opts.mayServe(teamId))
            .map(([teamId, team]) => ({
                head: team.first(query),
                startTag: hasTeams ? this.shares.startTagOf(teamId) : 0,
            }))
            .filter((candidate): candidate is Candidate => candidate.head !== undefined)
            .reduce<Candidate | undefined>(
                (best, other) => best === undefined || isBefore(other, best, hasTeams) ? other : best,
                undefined,
            )?.head;
    }

    /**
     * Whether a waiting request has to be placed before one that isn't queued yet: it needs one of the same slots, or one
     * of fewer slots, and is more urgent. With teams, only requests of the same team.
     */
    mustWait(urgency: Urgency, teamId: TeamKey, softwareVersion: SoftwareVersion | undefined, lateBeforeMs: number) {
        const { hasTeams } = this.weights;
        const order = hasTeams ? compareWithinTeam : compareUrgency;
        const head = this.first({
            lateBeforeMs,
            mayServe: other => !hasTeams || other === teamId,
            mayUse: other => other === undefined || other === softwareVersion,
        });
        return head !== undefined && order(head, urgency) < 0;
    }

    /**
     * Returns the expected number of requests of this process that are served before one with the given urgency.
     *
     * @param opts.isQueued whether the request is in this queue itself
     */
    countAhead(opts: {
        urgency: Urgency;
        teamId: TeamKey;
        isQueued: boolean;
        lateBeforeMs: number;
        nowMs: number;
    }): number {
        const { urgency, teamId, lateBeforeMs, nowMs } = opts;
        const itself = opts.isQueued ? 1 : 0;
        if (!this.weights.hasTeams) {
            return this.countMoreUrgent(urgency, lateBeforeMs) - itself;
        }
        const urgencyClass = urgencyClassOf(urgency);
        const ownCount = this.teams.get(teamId)?.countAhead(urgency, compareWithinTeam, lateBeforeMs) ?? 0;
        return this.shares.countAhead({
            teamId,
            ownAhead: ownCount - itself,
            others: [...this.teams].filter(([other]) => other !== teamId).map(([other, team]) => {
                const counts = team.countsByClass(lateBeforeMs);
                return {
                    teamId: other,
                    ofBetterClass: counts.slice(0, urgencyClass).reduce((sum, count) => sum + count, 0),
                    ofSameClass: counts[urgencyClass]!,
                };
            }),
            nowMs,
        });
    }

    /**
     * Returns the expected number of requests that are served before one, of `count` that wait at peers. Peers report only
     * the number of their queued requests; the same mix as here is assumed.
     */
    countAheadAtPeers(opts: {
        urgency: Urgency;
        teamId: TeamKey;
        isQueued: boolean;
        count: number;
        lateBeforeMs: number;
        nowMs: number;
    }): number {
        if (opts.count === 0) {
            return 0;
        }
        const itself = opts.isQueued ? 1 : 0;
        const moreUrgentShare = this.count === itself
            ? 1
            : (this.countMoreUrgent(opts.urgency, opts.lateBeforeMs) - itself) / (this.count - itself);
        const moreUrgent = opts.count * moreUrgentShare;
        return this.weights.hasTeams
            ? this.shares.countAheadAtPeers(opts.teamId, moreUrgent, opts.nowMs)
            : moreUrgent;
    }

    private countMoreUrgent(urgency: Urgency, lateBeforeMs: number): number {
        const order = this.weights.hasTeams ? compareWithinTeam : compareUrgency;
        return [...this.teams.values()].reduce((sum, team) => sum + team.countAhead(urgency, order, lateBeforeMs), 0);
    }
}

interface Candidate {
    head: RankedRequest;
    startTag: number;
}

function isBefore(left: Candidate, right: Candidate, hasTeams: boolean): boolean {
    const byShare = hasTeams
        ? urgencyClassOf(left.head) - urgencyClassOf(right.head) || left.startTag - right.startTag
        : 0;
    return (byShare
        || compareUrgency(left.head, right.head)
        || left.head.waiting.sequence - right.head.waiting.sequence) < 0;
}
