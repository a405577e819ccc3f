import type { Clock } from "@knapweedwood/core.clock/clock";
import type { MemoryEndpoint } from "./memoryEndpoint.js";

/** Connects the endpoints of a simulated fleet. */
export class MemoryNetwork {
    readonly clock: Clock;
    private readonly endpoints = new Map<string, MemoryEndpoint>();
    private readonly silent = new Map<string, number>();
    private answersToLose = 0;
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

    at(address: string): MemoryEndpoint | undefined {
        return this.endpoints.get(address);
    }

    all(): MemoryEndpoint[] {
        return [...this.endpoints.values()];
    }

    /** Calls between two processes neither arrive nor fail before `durationMs` have passed. */
    silence(from: string, to: string, durationMs: number): void {
        const untilMs = this.clock.nowMs() + durationMs;
        this.silent.set(pairOf(from, to), untilMs);
    }

    isSilent(from: string, to: string): boolean {
        return (this.silent.get(pairOf(from, to)) ?? 0) > this.clock.nowMs();
    }

    /** The next `count` calls run, but their answers are lost. */
    loseNextAnswers(count: number): void {
        this.answersToLose = count;
    }

    /** The next `count` calls arrive twice. */
    duplicateNextCalls(count: number): void {
        this.callsToDuplicate = count;
    }

    takeLostAnswer(): boolean {
        const isLost = this.answersToLose > 0;
        this.answersToLose -= Number(isLost);
        return isLost;
    }

    takeDuplicate(): boolean {
        const isDuplicate = this.callsToDuplicate > 0;
        this.callsToDuplicate -= Number(isDuplicate);
        return isDuplicate;
    }

    heal(): void {
        this.silent.clear();
        this.answersToLose = 0;
        this.callsToDuplicate = 0;
    }
}

function pairOf(from: string, to: string): string {
    return [from, to].toSorted().join(" ");
}
