import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { crashId } from "./crashId.js";

interface IndexedCrash {
    /** Key of the suspicion that counts the crash. */
    key: string;
    crash: UpstreamProcessKey;
    /** Position at which this process learned of the crash, among the beginnings of its runs. */
    sequence: number;
}

/** Finds the suspicions that count crashes of an upstream process, with the order in which they and the runs came. */
export class CrashIndex {
    /** For each process its crashes, by crash and suspicion, in the order in which they were learned. */
    private readonly byProcess = new Map<UpstreamProcessKey, Map<string, IndexedCrash>>();
    private readonly crashesOf = new Map<string, readonly UpstreamProcessKey[]>();
    private sequence = 0;

    /** Returns a number greater than those of all crashes known so far, and smaller than those of later ones. */
    nextSequence(): number {
        this.sequence += 1;
        return this.sequence;
    }

    /** Replaces the crashes that a suspicion counts. */
    set(key: string, crashes: readonly UpstreamProcessKey[]): void {
        const known = this.crashesOf.get(key) ?? [];
        known.filter(crash => !crashes.includes(crash)).forEach(crash => this.remove(key, crash));
        const learned = crashes.filter(crash => !known.includes(crash));
        const sequence = learned.length > 0 ? this.nextSequence() : this.sequence;
        learned.forEach(crash => this.add({ key, crash, sequence }));
        this.crashesOf.set(key, crashes);
        if (crashes.length === 0) {
            this.crashesOf.delete(key);
        }
    }

    /** Whether a crash of the process was known when the run with this number began. */
    hasKnownBefore(process: UpstreamProcessKey, sequence: number): boolean {
        const [first] = this.byProcess.get(process)?.values() ?? [];
        return first !== undefined && first.sequence < sequence;
    }

    /** Returns the crashes of the process that were known when the run with this number began, shape [crashes]. */
    knownBefore(process: UpstreamProcessKey, sequence: number): IndexedCrash[] {
        return [...this.byProcess.get(process)?.values() ?? []].filter(crash => crash.sequence < sequence);
    }

    /** Returns the keys of the suspicions that count a crash of the process, shape [keys]. */
    keysOf(process: UpstreamProcessKey): string[] {
        return [...this.byProcess.get(process)?.values() ?? []].map(({ key }) => key);
    }

    private add(indexed: IndexedCrash): void {
        const process = crashId.processOf(indexed.crash);
        const crashes = this.byProcess.get(process) ?? new Map<string, IndexedCrash>();
        this.byProcess.set(process, crashes.set(`${indexed.crash} ${indexed.key}`, indexed));
    }

    private remove(key: string, crash: UpstreamProcessKey): void {
        const process = crashId.processOf(crash);
        const crashes = this.byProcess.get(process);
        crashes?.delete(`${crash} ${key}`);
        if (crashes?.size === 0) {
            this.byProcess.delete(process);
        }
    }
}
