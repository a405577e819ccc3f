import type { Clock } from "@knapweedwood/core.clock/clock";
import type { MemoryEndpoint } from "./memoryEndpoint.js";

/** Connects the endpoints of a simulated fleet. */
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

    /** Calls between two processes neither arrive nor fail before `durationMs` have passed. */
    silence(from: string, to: string, durationMs: number): void {
        const untilMs = this.clock.nowMs() + durationMs;
        this.silentUntilMs.set(pairKey(from, to), untilMs);
    }

    isSilent(from: string, to: string): boolean {
        return (this.silentUntilMs.get(pairKey(from, to)) ?? 0) > this.clock.nowMs();
    }

    /** The next `count` calls run, but their answers are lost. */
    loseNextResponses(count: number): void {
        this.responsesToLose = count;
    }

    /** The next `count` calls arrive twice. */
    duplicateNextCalls(count: number): void {
        this.callsToDuplicate = count;
    }

    consumeResponseLoss(): boolean {
        const isLost = this.responsesToLose > 0;
        this.responsesToLose -= Number(isLost);
        return isLost;
    }

    consumeDuplication(): boolean {
        const isDuplicate = this.callsToDuplicate > 0;
        this.callsToDuplicate -= Number(isDuplicate);
        return isDuplicate;
    }

    clearFaults(): void {
        this.silentUntilMs.clear();
        this.responsesToLose = 0;
        this.callsToDuplicate = 0;
    }
}

function pairKey(from: string, to: string): string {
    return [from, to].toSorted().join(" ");
}
