import type { ItemHistory } from "@knapweedwood/batch.jobs/itemHistory";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { InFlightItem } from "./inFlightItem.js";
import type { PendingItem } from "./pendingItem.js";

/** How long a failed item waits for an upstream where it has not failed yet. */
const MAX_OTHER_UPSTREAM_WAIT_MS = 10_000;

/** How long after its last pull a gate counts as available. */
const RECENT_PULL_MS = 5_000;

interface RecentPull {
    service: ServiceName;
    atMs: number;
}

/** The waiting and in-flight items of one job, with the history of their failed attempts. */
export class ItemQueue {
    private waiting: PendingItem[] = [];
    private readonly inFlight = new Map<number, InFlightItem>();
    private readonly histories = new Map<number, ItemHistory>();
    private readonly lastPulls = new Map<InstanceId, RecentPull>();

    constructor(histories: ItemHistory[]) {
        histories.forEach(history => this.histories.set(history.index, history));
    }

    get waitingCount(): number {
        return this.waiting.length;
    }

    get inFlightCount(): number {
        return this.inFlight.size;
    }

    /** Returns whether the item is waiting or in flight. */
    has(index: number): boolean {
        return this.inFlight.has(index) || this.waiting.some(item => item.index === index);
    }

    inFlightItems(): InFlightItem[] {
        return [...this.inFlight.values()];
    }

    allHistories(): ItemHistory[] {
        return [...this.histories.values()];
    }

    inFlightItem(index: number): InFlightItem | undefined {
        return this.inFlight.get(index);
    }

    history(index: number): ItemHistory | undefined {
        return this.histories.get(index);
    }

    setHistory(history: ItemHistory): void {
        this.histories.set(history.index, history);
    }

    add(item: PendingItem): void {
        this.waiting.push(item);
    }

    addFirst(item: PendingItem): void {
        this.waiting.unshift(item);
    }

    /** Removes the next waiting item of `service` that may run at this gate's upstream and marks it as in flight. */
    take(service: ServiceName, peer: PeerIdentity, nowMs: number): PendingItem | undefined {
        this.lastPulls.set(peer.instanceId, { service, atMs: nowMs });
        const position = this.waiting.findIndex(item =>
            item.service.name === service && item.notBeforeMs <= nowMs && this.isAllowed(item, peer, nowMs)
        );
        if (position === -1) {
            return undefined;
        }
        const [item] = this.waiting.splice(position, 1);
        const started = { ...item, attemptCount: item.attemptCount + 1 };
        this.addInFlight(started, { peer: peer.instanceId, incarnation: peer.incarnation }, nowMs);
        return started;
    }

    /** Removes and returns a waiting item that this owner has not handed to any gate yet. */
    takeUnstarted(index: number): PendingItem | undefined {
        const position = this.waiting.findIndex(item => item.index === index && item.attemptCount === 0);
        return position === -1 ? undefined : this.waiting.splice(position, 1)[0];
    }

    /** Adds an item that a gate already holds. */
    addInFlight(item: PendingItem, gate: Pick<InFlightItem, "peer" | "incarnation">, nowMs: number): void {
        const { peer, incarnation } = gate;
        this.inFlight.set(item.index, { item, peer, incarnation, sinceMs: nowMs, peerLostSinceMs: undefined });
    }

    /** Removes an item from the in-flight items. Returns undefined if it is not in flight. */
    removeInFlight(index: number): InFlightItem | undefined {
        const inFlightItem = this.inFlight.get(index);
        this.inFlight.delete(index);
        return inFlightItem;
    }

    /** Removes an item that has its result, with its history. */
    remove(index: number): void {
        this.inFlight.delete(index);
        this.histories.delete(index);
        this.waiting = this.waiting.filter(item => item.index !== index);
    }

    clear(): void {
        this.waiting = [];
        this.inFlight.clear();
    }

    /**
     * Returns whether the item may run at this upstream. An item that may have caused the loss of an upstream does not
     * share an upstream with another such item. An item returns to an upstream where it has failed only after
     * MAX_OTHER_UPSTREAM_WAIT_MS, or if no other upstream is available.
     */
    private isAllowed(item: PendingItem, peer: PeerIdentity, nowMs: number): boolean {
        const history = this.histories.get(item.index);
        if (history === undefined) {
            return true;
        }
        const isSuspect = history.lostUpstreams.length > 0;
        const failedUpstreams = [...history.upstreams, ...history.lostUpstreams];
        const hasFailedHere = failedUpstreams.includes(peer.instanceId);
        const hasWaited = nowMs - item.notBeforeMs >= MAX_OTHER_UPSTREAM_WAIT_MS
            || !this.hasOtherUpstream(item.service.name, failedUpstreams, nowMs);
        return !(isSuspect && this.hasSuspectAt(peer)) && (!hasFailedHere || hasWaited);
    }

    /** Returns whether an upstream where the item has not failed has pulled within RECENT_PULL_MS. */
    private hasOtherUpstream(service: ServiceName, failedUpstreams: InstanceId[], nowMs: number): boolean {
        return [...this.lastPulls].some(([instanceId, pull]) =>
            pull.service === service && nowMs - pull.atMs < RECENT_PULL_MS && !failedUpstreams.includes(instanceId)
        );
    }

    private hasSuspectAt(peer: PeerIdentity): boolean {
        return [...this.inFlight.values()].some(inFlightItem =>
            inFlightItem.peer === peer.instanceId
            && (this.histories.get(inFlightItem.item.index)?.lostUpstreams.length ?? 0) > 0
        );
    }
}
