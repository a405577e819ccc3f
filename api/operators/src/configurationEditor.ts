import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import type { ConfigurationChange } from "@knapweedwood/config.publishing/configurationChange";
import type { PublishResult } from "@knapweedwood/config.publishing/publishResult";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { canManageTeam } from "./canManageTeam.js";
import { notFound } from "./notFound.js";
import type { OperatorCaller } from "./operatorCaller.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";

const LOCAL_ACTIVATION_TIMEOUT_MS = 3_000;

/** Reads the latest configuration and publishes changes to it on behalf of the caller of one request. */
export class ConfigurationEditor {
    private readonly opts: Pick<OperatorsApiOptions, "publisher" | "configuration">;
    private readonly caller: OperatorCaller;

    constructor(opts: Pick<OperatorsApiOptions, "publisher" | "configuration">, caller: OperatorCaller) {
        this.opts = opts;
        this.caller = caller;
    }

    /**
     * Returns the latest published configuration, which may not be active in this process yet. Rejects with
     * `CONFIGURATION_MISSING` (503).
     */
    async latest(): Promise<ConfigurationView> {
        const view = await this.opts.publisher.current();
        if (view === undefined) {
            throw new KnapweedError("CONFIGURATION_MISSING", "No configuration has been published yet", {
                statusCode: 503,
                outcome: "not-run",
            });
        }
        return view;
    }

    /** Returns a team that the caller may manage. Throws `TEAM_NOT_FOUND` (404) for any other. */
    team(view: ConfigurationView, teamId: string): TeamDefinition {
        const team = canManageTeam(this.caller, teamId) ? view.team(teamId as TeamId) : undefined;
        if (team === undefined) {
            throw notFound("team", teamId);
        }
        return team;
    }

    /** Returns a service that the caller may manage. Throws `SERVICE_NOT_FOUND` (404) for any other. */
    service(view: ConfigurationView, name: string): ServiceDefinition {
        const service = view.service(name as ServiceName);
        if (service === undefined || !canManageTeam(this.caller, service.team)) {
            throw notFound("service", name);
        }
        return service;
    }

    /** Publishes changes based on `view` and waits a few seconds at most until they are active in this process. */
    async publish(
        view: ConfigurationView,
        changes: ConfigurationChange[],
        opts: { message: string; dryRun?: boolean; },
    ): Promise<PublishResult> {
        const result = await this.opts.publisher.publish({
            actor: this.caller.keyId,
            changes,
            baseRevision: view.revision,
            ...opts,
        });
        return this.waitUntilActive(result);
    }

    /**
     * Waits a few seconds at most until a published result is active in this process, so that the next request to it
     * sees the change.
     */
    async waitUntilActive(result: PublishResult): Promise<PublishResult> {
        if (result.published) {
            await this.opts.configuration.waitFor(result.revision, { timeoutMs: LOCAL_ACTIVATION_TIMEOUT_MS });
        }
        return result;
    }
}
