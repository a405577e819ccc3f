import type fc from "fast-check";
import type { FuzzCase } from "./fuzzCase.js";
import type { Step } from "./step.js";

/** Runs one step as a fast-check command. Its text is the step as JSON, which failure reports print. */
export class FuzzCommand implements fc.AsyncCommand<object, FuzzCase> {
    private readonly step: Step;

    constructor(step: Step) {
        this.step = step;
    }

    check(): boolean {
        return true;
    }

    run(_model: object, fuzzCase: FuzzCase): Promise<void> {
        return fuzzCase.runStep(this.step);
    }

    toString(): string {
        return JSON.stringify(this.step);
    }
}
