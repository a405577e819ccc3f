import { Flags, type Interfaces } from "@oclif/core";
import { ApiClient } from "./apiClient.js";
import { KnapweedCommand } from "./knapweedCommand.js";

/** Base class of commands that call the API of an entry. */
export abstract class ApiCommand extends KnapweedCommand {
    static override baseFlags: Interfaces.FlagInput = {
        url: Flags.string({
            description: "base URL of an entry",
            env: "KNAPWEED_URL",
            default: "http://127.0.0.1:8080",
            helpGroup: "GLOBAL",
        }),
        key: Flags.string({ description: "API key", env: "KNAPWEED_KEY", required: true, helpGroup: "GLOBAL" }),
    };

    protected client(flags: { [name: string]: unknown; }): ApiClient {
        return new ApiClient({ url: String(flags["url"]), key: String(flags["key"]) });
    }
}
