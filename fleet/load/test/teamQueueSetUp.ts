import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { LeastLoadedPlacement } from "../src/leastLoadedPlacement.js";
import { LoadTracker } from "../src/loadTracker.js";
import type { QueuedRequest } from "../src/queuedRequest.js";
import type { QueueEstimate } from "../src/queueEstimate.js";
import { RequestQueue } from "../src/requestQueue.js";
import { ServiceTimes } from "../src/serviceTimes.js";

export const SERVICE = "s" as ServiceName;

export interface TestRequest extends QueuedRequest {
    placedAt: Upstream | undefined;
    retryAfterMs: number | undefined;
    estimate: QueueEstimate | undefined;
}

export function teamOf(id: string, change: Partial<Team> = {}): Team {
    return { id: id as TeamId, keys: [], priority: undefined, requestsPerSecond: undefined, burst: 0, ...change };
}

/** Creates a queue before `upstreams`, and records the requests that it places. */
export function setUpTeams(upstreams: Upstream[], teams: readonly Team[] | undefined) {
    const clock = new ManualClock();
    const random = new SeededRandom(1);
    const loadTracker = new LoadTracker();
    const serviceTimes = new ServiceTimes();
    serviceTimes.recordFirstData(SERVICE, 60);
    const placed: TestRequest[] = [];
    const queue = new RequestQueue({
        clock,
        random,
        loadTracker,
        serviceTimes,
        placement: new LeastLoadedPlacement({
            loadTracker,
            random,
            zone: "z" as Upstream["zone"],
            connectionShare: () => Infinity,
            placingPeers: () => 0,
        }),
        usableUpstreams: (_service, version) =>
            upstreams.filter(upstream => [undefined, upstream.softwareVersion].includes(version)),
        teams: () => teams,
    });
    const submit = (change: Partial<QueuedRequest> = {}): TestRequest => {
        const request: TestRequest = {
            team: undefined,
            promptParts: [],
            service: SERVICE,
            softwareVersion: undefined,
            isStarted: false,
            priority: change.team?.priority ?? 0,
            arrivedAtMs: clock.nowMs(),
            objectiveAtMs: clock.nowMs() + 300,
            callerTimeoutAtMs: clock.nowMs() + 2000,
            deadlineAtMs: clock.nowMs() + 5000,
            isRetry: false,
            excluded: new Set(),
            placedAt: undefined,
            retryAfterMs: undefined,
            estimate: undefined,
            blockedForMs: () => 0,
            onWaiting: estimate => {
                request.estimate = estimate;
            },
            onPlaced: upstream => {
                request.placedAt = upstream;
                placed.push(request);
                loadTracker.count(upstream.id, "online", 1);
            },
            onRejected: (retryAfterMs, _reason, estimate) => {
                request.retryAfterMs = retryAfterMs;
                request.estimate = estimate;
            },
        };
        Object.defineProperties(request, Object.getOwnPropertyDescriptors(change));
        queue.submit(request);
        return request;
    };
    const finish = (upstream: Upstream) => {
        loadTracker.count(upstream.id, "online", -1);
        queue.dispatch();
    };
    return { clock, loadTracker, serviceTimes, queue, placed, submit, finish };
}
