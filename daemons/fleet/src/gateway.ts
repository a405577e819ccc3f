import { GatewayProgram } from "./gatewayProgram.js";
import { runProgram } from "./runProgram.js";

void runProgram("gateway", async (settings, logger) => {
    const program = new GatewayProgram(settings, logger);
    await program.start();
    return program;
});
