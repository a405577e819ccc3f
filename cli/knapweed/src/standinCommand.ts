import { Flags, type Interfaces } from "@oclif/core";
import { KnapweedCommand } from "./knapweedCommand.js";
import { waitForSignal } from "./waitForSignal.js";

interface StandinServer {
    listen(opts: { host: string; port: number; }): Promise<number>;
    close(): Promise<void>;
}

/** Base class of commands that run a stand-in until SIGINT or SIGTERM. */
export abstract class StandinCommand extends KnapweedCommand {
    static override baseFlags: Interfaces.FlagInput = {
        host: Flags.string({ description: "address to listen on", default: "127.0.0.1" }),
        port: Flags.integer({ description: "port to listen on", required: true }),
    };

    protected async serve(server: StandinServer, flags: { [name: string]: unknown; }): Promise<object> {
        const host = String(flags["host"]);
        const port = await server.listen({ host, port: Number(flags["port"]) });
        this.log(`listening on http://${host}:${port}`);
        await waitForSignal();
        await server.close();
        return { host, port };
    }
}
