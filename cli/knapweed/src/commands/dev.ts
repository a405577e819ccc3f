import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { DemoDeployment } from "@knapweedwood/daemons.embedded/demoDeployment";
import { JsonLogger } from "@knapweedwood/observability.logs/jsonLogger";
import { silentTracer } from "@knapweedwood/observability.traces/silentTracer";
import { Flags } from "@oclif/core";
import { randomBytes } from "node:crypto";
import { KnapweedCommand } from "../knapweedCommand.js";
import { waitForSignal } from "../waitForSignal.js";

const KEY_BYTES = 24;

/** Runs an embedded deployment until SIGINT or SIGTERM. */
export default class Dev extends KnapweedCommand {
    static override description =
        "run a complete deployment in one process, with stand-ins for the platform and the engines";
    static override flags = {
        port: Flags.integer({ description: "port of the API", default: 8080 }),
        "api-key": Flags.string({ description: "API key of the platform operator; generated if omitted" }),
        "log-level": Flags.option({ options: ["debug", "info", "warn", "error"] as const })({ default: "warn" }),
        "trace-file": Flags.string({ description: "file to append trace spans to, one JSON object per line" }),
    };

    async run(): Promise<unknown> {
        const { flags } = await this.parse(Dev);
        const operatorKey = flags["api-key"] ?? randomBytes(KEY_BYTES).toString("base64url");
        const demo = new DemoDeployment({
            port: flags.port,
            seed: 1,
            operatorKey,
            logger: new JsonLogger({ clock: new SystemClock(), level: flags["log-level"] }),
            tracer: await this.tracer(flags["trace-file"]),
        });
        await demo.start();
        this.log(`API:   ${demo.deployment.url()}/v1`);
        this.log(`Key:   ${operatorKey}`);
        this.log("Model: demo-chat");
        this.log("Stop with Ctrl-C.");
        await waitForSignal();
        await demo.stop();
        return { url: demo.deployment.url() };
    }

    private async tracer(file: string | undefined) {
        if (file === undefined) {
            return silentTracer;
        }
        const { OpenTelemetryTracer } = await import("@knapweedwood/observability.traces/openTelemetryTracer");
        return new OpenTelemetryTracer({ instanceId: "dev", file });
    }
}
