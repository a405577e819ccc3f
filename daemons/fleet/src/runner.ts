import { RunnerProgram } from "./runnerProgram.js";
import { runProgram } from "./runProgram.js";

void runProgram("runner", async (settings, logger) => {
    const program = new RunnerProgram(settings, logger);
    await program.start();
    return program;
});
