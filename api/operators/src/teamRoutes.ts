import type { TeamDefinition } from "@knapweedwood/config.configuration/teamDefinition";
import type { ConfigurationChange } from "@knapweedwood/config.publishing/configurationChange";
import type { RecordKey } from "@knapweedwood/config.publishing/recordKey";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { bodySchemas } from "./bodySchemas.js";
import { canManageTeam } from "./canManageTeam.js";
import { ConfigurationEditor } from "./configurationEditor.js";
import { forbidden } from "./forbidden.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { parseBody } from "./parseBody.js";
import { publishResultObject } from "./publishResultObject.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";
import { teamObject } from "./teamObject.js";

/** Returns the routes for teams and their limits. */
export function teamRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/teams",
            roles: roleSets.operators,
            handle: async ({ caller }) => {
                const view = await new ConfigurationEditor(opts, caller).latest();
                const teams = view.teams().filter(team => canManageTeam(caller, team.teamId));
                return { teams: teams.map(teamObject) };
            },
        },
        {
            method: "GET",
            path: "/teams/:teamId",
            roles: roleSets.operators,
            handle: async ({ caller, parameter }) => {
                const editor = new ConfigurationEditor(opts, caller);
                return teamObject(editor.team(await editor.latest(), parameter("teamId")));
            },
        },
        {
            method: "POST",
            path: "/teams",
            roles: roleSets.platform,
            statusCode: 201,
            handle: async ({ caller, body }) => {
                const team = parseBody(bodySchemas.createTeam, body);
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                if (view.teams().some(existing => existing.teamId === team.teamId)) {
                    throw new KnapweedError("TEAM_EXISTS", `The team "${team.teamId}" already exists`, {
                        statusCode: 409,
                        outcome: "not-run",
                    });
                }
                const created = { ...team, displayName: team.displayName ?? team.teamId, keys: [] };
                const change = putTeam(created as unknown as TeamDefinition);
                const result = await editor.publish(view, [change], { message: `create team ${team.teamId}` });
                return { ...created, keys: undefined, revision: result.revision };
            },
        },
        {
            method: "PATCH",
            path: "/teams/:teamId",
            roles: roleSets.operators,
            handle: async ({ caller, parameter, body }) => {
                const changed = parseBody(bodySchemas.changeTeam, body);
                const changesShare = changed.weight !== undefined || changed.limits !== undefined;
                if (caller.role !== "platform-operator" && changesShare) {
                    throw forbidden("Only platform operators may change a team's weight and limits");
                }
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                const team = editor.team(view, parameter("teamId"));
                const change = putTeam({ ...team, ...changed } as TeamDefinition);
                return publishResultObject(
                    await editor.publish(view, [change], { message: `change team ${team.teamId}` }),
                );
            },
        },
        {
            method: "PUT",
            path: "/teams/:teamId/limits",
            roles: roleSets.platform,
            handle: async ({ caller, parameter, body }) => {
                const limits = parseBody(bodySchemas.limits, body);
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                const team = editor.team(view, parameter("teamId"));
                const change = putTeam({ ...team, limits } as TeamDefinition);
                return publishResultObject(
                    await editor.publish(view, [change], { message: `limits of team ${team.teamId}` }),
                );
            },
        },
        {
            method: "DELETE",
            path: "/teams/:teamId",
            roles: roleSets.platform,
            handle: async ({ caller, parameter }) => {
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                const team = editor.team(view, parameter("teamId"));
                const message = `delete team ${team.teamId}`;
                return publishResultObject(await editor.publish(view, removeTeam(team), { message }));
            },
        },
    ];
}

function putTeam(team: TeamDefinition): ConfigurationChange {
    const { keys: _keys, ...fields } = team;
    return { kind: "put", record: { kind: "team", team: fields } };
}

function removeTeam(team: TeamDefinition): ConfigurationChange[] {
    return [
        { kind: "remove", recordKey: `team/${team.teamId}` as RecordKey },
        ...team.keys.map(key => ({ kind: "remove" as const, recordKey: `key/${key.keyId}` as RecordKey })),
    ];
}
