import type { Clock } from "@knapweedwood/core.clock/clock";
import type { MemoryEndpoint } from "./memoryEndpoint.js";

/** Connects the endpoints of a simulated fleet, and injects faults into their calls. */
export class MemoryNetwork {
    readonly clock: Clock;
    private readonly endpoints = new Map<string, MemoryEndpoint>();
    private readonly silentUntilMs = new Map<string, number>();
    private responsesToLose = 0;
    private callsToDuplicate = 0;

    constructor(opts: { clock: Clock; }) {
        this.clock = opts.clock;
    }

    add(endpoint: MemoryEndpoint): void {
        this.endpoints.set(endpoint.address, endpoint);
    }

    remove(address: string): void {
        this.endpoints.delete(address);
    }

    endpointAt(address: string): MemoryEndpoint | undefined {
        return this.endpoints.get(address);
    }

    allEndpoints(): MemoryEndpoint[] {
        return [...this.endpoints.values()];
    }

    /** Makes two processes unreachable from each other for `durationMs` milliseconds. */
    silence(from: string, to: string, durationMs: number): void {
        const untilMs = this.clock.nowMs() + durationMs;
        this.silentUntilMs.set(pairKey(from, to), untilMs);
    }

    isSilent(from: string, to: string): boolean {
        return (this.silentUntilMs.get(pairKey(from, to)) ?? 0) > this.clock.nowMs();
    }

    /** Loses the responses of the next `count` calls, which do run. */
    loseNextResponses(count: number): void {
        this.responsesToLose = count;
    }

    /** Delivers the next `count` calls twice. */
    duplicateNextCalls(count: number): void {
        this.callsToDuplicate = count;
    }

    /** Returns whether the current response is to be lost, and counts it. */
    consumeResponseLoss(): boolean {
        const isLost = this.responsesToLose > 0;
        this.responsesToLose -= Number(isLost);
        return isLost;
    }

    /** Returns whether the current call is to be delivered twice, and counts it. */
    consumeDuplication(): boolean {
        const isDuplicate = this.callsToDuplicate > 0;
        this.callsToDuplicate -= Number(isDuplicate);
        return isDuplicate;
    }

    /** Ends all faults of the network. */
    clearFaults(): void {
        this.silentUntilMs.clear();
        this.responsesToLose = 0;
        this.callsToDuplicate = 0;
    }
}

function pairKey(from: string, to: string): string {
    return [from, to].toSorted().join(" ");
}
