import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { StartTags } from "@knapweedwood/routing.limits/startTags";
import { RecentCounts } from "./recentCounts.js";
import type { TeamWeights } from "./teamWeights.js";

type TeamKey = TeamId | undefined;

/** Iterations of the estimate of later arrivals, which converges geometrically. */
const MAX_ITERATIONS = 8;

/** Number of recent arrivals above its share from which a team exceeds it. A smaller excess may be due to chance. */
const MAX_EXCESS = 3;
/** Recent events from which a team counts as active. */
const MIN_ACTIVE_COUNT = 0.2;
/** Share of the slots that teams above their share leave to the others, if all other requests are of those. */
const MAX_RESERVED_SHARE = 0.16;

/** The waiting requests of another team, seen from one request. */
interface OtherTeam {
    teamId: TeamKey;
    /** Number of requests that are served before all requests of the class. */
    ofBetterClass: number;
    ofSameClass: number;
}

/** How teams share the slots of one service: start-time fair queueing, and how often each team was served recently. */
export class FairShares {
    private readonly weights: TeamWeights;
    private readonly startTags = new StartTags<TeamKey>();
    private readonly arrivals = new RecentCounts<TeamKey>();
    private readonly placements = new RecentCounts<TeamKey>();
    private readonly unplaced = new RecentCounts<TeamKey>();

    constructor(weights: TeamWeights) {
        this.weights = weights;
    }

    /** Returns the virtual time at which serving the team's next request would start. The lowest is served next. */
    startTagOf(teamId: TeamKey): number {
        return this.startTags.startTagOf(teamId);
    }

    /** Records that a request of the team has arrived. */
    recordArrival(teamId: TeamKey, nowMs: number): void {
        this.arrivals.add(teamId, nowMs);
    }

    /** Records that a request of the team takes a slot, also if it hasn't waited. */
    recordPlaced(teamId: TeamKey, nowMs: number): void {
        this.startTags.advanceTo(this.startTags.assign(teamId, 1 / this.weights.weightOf(teamId)));
        this.placements.add(teamId, nowMs);
    }

    /** Records that a request of the team found no free slot when it arrived. */
    recordUnplaced(teamId: TeamKey, nowMs: number): void {
        this.unplaced.add(teamId, nowMs);
    }

    /**
     * Returns the share of the slots that a team leaves free for the others, 0 to 1. A team that demands and gets more
     * than its share reserves some, since requests at other gateways, whose teams this process doesn't know, may need the
     * slots. A team that gets less than its share reserves none, so that it isn't starved.
     */
    reservedShareOf(teamId: TeamKey, nowMs: number): number {
        const isAboveShare = this.excessOf(this.arrivals, teamId, nowMs) > MAX_EXCESS
            && this.excessOf(this.placements, teamId, nowMs) >= 0;
        return isAboveShare ? MAX_RESERVED_SHARE * (1 - this.arrivals.shareOf(teamId)) : 0;
    }

    /** Returns the number of recent events of a team above its share by weight among the active teams. */
    private excessOf(events: RecentCounts<TeamKey>, teamId: TeamKey, nowMs: number): number {
        const share = events.shareOf(teamId);
        if (share === 0) {
            return -Infinity;
        }
        const others = this.arrivals.keys(MIN_ACTIVE_COUNT, nowMs).filter(key => key !== teamId);
        const activeWeight = [teamId, ...others].reduce((sum, key) => sum + this.weights.weightOf(key), 0);
        const count = events.countOf(teamId, nowMs);
        return count - count / share * this.weights.weightOf(teamId) / activeWeight;
    }

    /**
     * Returns the expected number of requests that are served before one of a team: of the team those ahead of it, and of
     * the others those that wait or arrive meanwhile, up to their fair shares of the time.
     *
     * @param opts.ownAhead number of requests of the same team ahead of it
     * @param opts.others the other teams with waiting requests, shape [teams]
     */
    countAhead(opts: { teamId: TeamKey; ownAhead: number; others: OtherTeam[]; nowMs: number; }): number {
        const { teamId, ownAhead, others, nowMs } = opts;
        const startTag = this.startTagOf(teamId) + ownAhead / this.weights.weightOf(teamId);
        const waitingAhead = others.reduce(
            (sum, other) =>
                sum + other.ofBetterClass + Math.min(other.ofSameClass, this.tagsUpTo(other.teamId, startTag)),
            ownAhead,
        );
        const waiting = new Map(others.map(other => [other.teamId, other.ofSameClass]));
        const arriving = this.placements.keys(MIN_ACTIVE_COUNT, nowMs)
            .filter(key => key !== teamId)
            .map(key => ({
                share: this.placements.shareOf(key),
                room: this.tagsBefore(key, startTag) - (waiting.get(key) ?? 0),
            }))
            .filter(({ room }) => room > 0);
        return withArrivals(waitingAhead, arriving);
    }

    /**
     * Returns the expected number of requests that are served before one of a team, of `count` that wait at peers whose
     * teams are unknown. They are assumed to be of the teams whose requests recently found no slot here.
     */
    countAheadAtPeers(teamId: TeamKey, count: number, nowMs: number): number {
        const own = count * this.unplaced.shareOf(teamId);
        const others = this.unplaced.keys(MIN_ACTIVE_COUNT, nowMs).filter(key => key !== teamId);
        const isKnown = [...others, teamId].some(key => this.unplaced.shareOf(key) > 0);
        if (!isKnown) {
            return count;
        }
        const weight = this.weights.weightOf(teamId);
        return others.reduce((sum, key) => {
            const waiting = count * this.unplaced.shareOf(key);
            return sum + Math.min(waiting, own * this.weights.weightOf(key) / weight);
        }, own);
    }

    /** Returns the number of requests of a team whose start tags are at most `startTag`. */
    private tagsUpTo(teamId: TeamKey, startTag: number): number {
        const difference = startTag - this.startTagOf(teamId);
        return difference < 0 ? 0 : Math.floor(difference * this.weights.weightOf(teamId)) + 1;
    }

    /** Returns the mean number of requests of a team, in fractions, whose start tags are below `startTag`. */
    private tagsBefore(teamId: TeamKey, startTag: number): number {
        return Math.max(0, startTag - this.startTagOf(teamId)) * this.weights.weightOf(teamId);
    }
}

/**
 * Returns the number of requests ahead including those that arrive while they are served: each team has a share of the
 * requests that are served meanwhile, and room for a number of them.
 */
function withArrivals(waitingAhead: number, arriving: { share: number; room: number; }[]): number {
    let ahead = waitingAhead;
    for (let iteration = 0; arriving.length > 0 && iteration < MAX_ITERATIONS; iteration += 1) {
        ahead = waitingAhead
            + arriving.reduce((sum, { share, room }) => sum + Math.min(share * (ahead + 1), room), 0);
    }
    return ahead;
}
