import type fc from "fast-check";
import type { FuzzWorld } from "./fuzzCase.js";
import type { Step } from "./step.js";

/** One step, as fast-check runs and shrinks it. */
export class FuzzCommand implements fc.AsyncCommand<object, FuzzWorld> {
    private readonly step: Step;

    constructor(step: Step) {
        this.step = step;
    }

    check(): boolean {
        return true;
    }

    run(_model: object, world: FuzzWorld): Promise<void> {
        return world.take(this.step);
    }

    toString(): string {
        return JSON.stringify(this.step);
    }
}
