import type { Clock } from "@knapweedwood/core.clock/clock";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { upstreamProcessKeyOf } from "@knapweedwood/fleet.view/upstreamProcessKeyOf";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { isFingerprint } from "./isFingerprint.js";
import type { RequestRun } from "./requestRun.js";
import { RequestSuspicions } from "./requestSuspicions.js";
import { SurvivalProofs } from "./survivalProofs.js";
import type { Suspicion } from "./suspicion.js";
import { suspicionKeyOf } from "./suspicionKeyOf.js";

interface RequestQuarantineOptions {
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Sends changed suspicions to the other processes. */
    publish: (changed: readonly Suspicion[]) => void;
    /** Stores a suspicion that has become a quarantine, or is no longer one, for processes that no peer can tell. */
    store: (suspicion: Suspicion) => void;
    /** Removes a stored suspicion that no process needs any more. */
    remove: (suspicion: Suspicion) => void;
    /** Returns the time at which an upstream process was last known to be listed, in milliseconds; -infinity if it isn't. */
    listedAtMs: (upstream: Upstream) => number;
    /** Returns the number of upstreams of a service. */
    upstreamCount: (service: ServiceName) => number;
    /** Called when requests that wait may have to be rejected, or may run again. */
    onChanged: () => void;
}

/** Decides which requests must not run, because they, or a part of their prompts, crash upstreams. */
export class RequestQuarantine {
    private readonly opts: RequestQuarantineOptions;
    private readonly suspicions: RequestSuspicions;
    private readonly survivals = new SurvivalProofs();
    /** Keys of the quarantined traits. */
    private readonly quarantined = new Set<string>();
    /** Keys of the requests whose suspicions this process has stored. */
    private readonly storedRequests = new Set<string>();

    constructor(opts: RequestQuarantineOptions) {
        this.opts = opts;
        this.suspicions = new RequestSuspicions(opts);
    }

    /** Whether any request or part of prompts is quarantined. */
    get isActive(): boolean {
        return this.quarantined.size > 0;
    }

    /**
     * Records that a request begins to run at an upstream of the service.
     *
     * @param traits the shared parts of its prompt in their order, then its fingerprint, shape [traits]
     */
    begin(service: ServiceName, traits: readonly RequestTraitId[]): RequestRun {
        const nowMs = this.opts.clock.nowMs();
        const run = this.suspicions.observe(service, traits, nowMs);
        this.onOwnChange(this.suspicions.onBegun(run, nowMs), "probe");
        return run;
    }

    /** Records that an upstream broke off a run. */
    onCrash(run: RequestRun, upstream: Upstream): void {
        const process = upstreamProcessKeyOf(upstream);
        this.onOwnChange(this.suspicions.onCrash(run, process, this.opts.clock.nowMs()), "crash");
    }

    /** Records a complete response of an upstream to a run. */
    onSuccess(run: RequestRun, upstream: Upstream): void {
        const nowMs = this.opts.clock.nowMs();
        if (this.suspicions.isSuspected(upstreamProcessKeyOf(upstream), run)) {
            this.survivals.add(upstream, run.sequence, nowMs);
        }
        this.onOwnChange(this.suspicions.onSuccess(run, nowMs), "success");
    }

    /**
     * Withdraws the crashes of upstream processes that have responded since and therefore didn't crash. Peers are told at once
     * of quarantines that this lifts, and of the others by repetition.
     */
    withdrawCrashes(): void {
        const nowMs = this.opts.clock.nowMs();
        const changed = this.survivals
            .takeCertain(this.opts.listedAtMs, nowMs)
            .flatMap(({ process, sequence }) => this.suspicions.withdraw(process, sequence, nowMs));
        const isLifted = (one: Suspicion) => !one.isQuarantined && this.quarantined.has(suspicionKeyOf(one));
        this.onChange(changed.filter(one => !isLifted(one)), "survival");
        this.onOwnChange(changed.filter(isLifted), "survival");
    }

    /** Records that an upstream process is no longer listed, though it hadn't said that it leaves. */
    onEnded(upstream: Upstream): void {
        this.suspicions.onEnded(upstream.service, upstreamProcessKeyOf(upstream), this.opts.clock.nowMs());
    }

    /** Merges what another process knows, and tells the others where it didn't know of a success. */
    merge(received: readonly Suspicion[]): void {
        const changed = this.suspicions.merge(received, this.opts.clock.nowMs());
        const unaware = new Set(received.filter(one => !one.hasSucceeded).map(suspicionKeyOf));
        const vouchedFor = changed.filter(one => one.hasSucceeded && unaware.has(suspicionKeyOf(one)));
        if (vouchedFor.length > 0) {
            this.opts.publish(vouchedFor);
        }
        const quarantines = new Set(received.filter(one => one.isQuarantined).map(suspicionKeyOf));
        const lifted = changed.filter(one => !one.isQuarantined && quarantines.has(suspicionKeyOf(one)));
        const begun = changed.filter(one =>
            one.isQuarantined && !quarantines.has(suspicionKeyOf(one)) && !this.quarantined.has(suspicionKeyOf(one))
        );
        [...lifted, ...begun].forEach(one => this.store(one));
        this.onChange(changed, "peer");
    }

    /** Returns the time for which requests with these traits must not run, in milliseconds; 0 if they may run now. */
    blockedForMs(service: ServiceName, traits: readonly RequestTraitId[]): number {
        return this.blockedMs(service, traits, false);
    }

    /** The same for an item, which no other process runs. It is tested sooner than a request that may come anywhere. */
    itemBlockedForMs(service: ServiceName, traits: readonly RequestTraitId[]): number {
        return this.blockedMs(service, traits, true);
    }

    /** Returns the suspicions that other processes may not know yet, shape [suspicions]. Drops outdated ones. */
    toRepeat(): Suspicion[] {
        const nowMs = this.opts.clock.nowMs();
        this.suspicions.dropOutdated(nowMs).forEach(dropped => this.onDropped(dropped));
        return this.suspicions.toRepeat(nowMs);
    }

    private blockedMs(service: ServiceName, traits: readonly RequestTraitId[], isSoleRunner: boolean): number {
        const nowMs = this.opts.clock.nowMs();
        return this.isActive ? this.suspicions.blockedForMs(service, traits, { nowMs, isSoleRunner }) : 0;
    }

    private store(suspicion: Suspicion): void {
        if (isFingerprint(suspicion.part)) {
            this.storedRequests.add(suspicionKeyOf(suspicion));
        }
        this.opts.store(suspicion);
    }

    private onDropped(dropped: Suspicion): void {
        if (this.storedRequests.delete(suspicionKeyOf(dropped))) {
            this.opts.remove(dropped);
        }
        if (dropped.isQuarantined) {
            this.log({ ...dropped, isQuarantined: false }, "not-asked-for");
            this.quarantined.delete(suspicionKeyOf(dropped));
        }
    }

    private onOwnChange(changed: readonly Suspicion[], cause: string): void {
        if (changed.length === 0) {
            return;
        }
        this.opts.publish(changed);
        changed
            .filter(one => one.isQuarantined !== this.quarantined.has(suspicionKeyOf(one)))
            .forEach(one => this.store(one));
        this.onChange(changed, cause);
    }

    private onChange(changed: readonly Suspicion[], cause: string): void {
        if (changed.length === 0) {
            return;
        }
        changed.forEach(suspicion => {
            this.log(suspicion, cause);
            this.quarantined[suspicion.isQuarantined ? "add" : "delete"](suspicionKeyOf(suspicion));
        });
        this.opts.onChanged();
    }

    private log(suspicion: Suspicion, cause: string): void {
        const { isQuarantined, part, ...others } = suspicion;
        const [kind, id] = isFingerprint(part) ? ["request", { fingerprint: part }] : ["prompt-part", { part }];
        if (isQuarantined === this.quarantined.has(suspicionKeyOf(suspicion))) {
            const event = cause === "probe" ? "probed" : "suspected";
            const fields = { ...id, ...others, cause };
            this.opts.logger[cause === "probe" ? "info" : "debug"](`${kind}-${event}`, fields);
            return;
        }
        const evidence = isQuarantined ? this.suspicions.evidence(suspicion, this.opts.clock.nowMs()) : {};
        const fields = { ...id, ...others, ...evidence, cause };
        this.opts.logger.warn(isQuarantined ? `${kind}-quarantined` : `${kind}-released`, fields);
    }
}
