import type { Execution } from "./execution.js";

/** What the upstreams have run. */
export class UpstreamRecord {
    private readonly executions: Execution[] = [];

    add(execution: Execution): void {
        this.executions.push(execution);
    }

    all(): readonly Execution[] {
        return this.executions;
    }

    countOf(call: string): number {
        return this.executions.filter(execution => execution.call === call).length;
    }
}
