import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { bodySchemas } from "./bodySchemas.js";
import { ConfigurationEditor } from "./configurationEditor.js";
import { createKey } from "./createKey.js";
import { forbidden } from "./forbidden.js";
import { keyObject } from "./keyObject.js";
import { notFound } from "./notFound.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { parseBody } from "./parseBody.js";
import { publishResultObject } from "./publishResultObject.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";

/** Returns the routes for the keys of a team. */
export function keyRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/teams/:teamId/keys",
            roles: roleSets.operators,
            handle: async ({ caller, parameter }) => {
                const editor = new ConfigurationEditor(opts, caller);
                const team = editor.team(await editor.latest(), parameter("teamId"));
                return { keys: team.keys.map(keyObject) };
            },
        },
        {
            method: "POST",
            path: "/teams/:teamId/keys",
            roles: roleSets.operators,
            statusCode: 201,
            handle: async ({ caller, parameter, body }) => {
                const requested = parseBody(bodySchemas.createKey, body);
                if (requested.role === "platform-operator" && caller.role !== "platform-operator") {
                    throw forbidden("Only platform operators may create keys with this role");
                }
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                const { teamId } = editor.team(view, parameter("teamId"));
                const { secret, record } = createKey({
                    name: requested.name,
                    role: requested.role,
                    createdAtMs: Math.round(opts.clock.nowMs()),
                    ...(requested.limits === undefined
                        ? {}
                        : { limits: requested.limits as NonNullable<KeyRecord["limits"]> }),
                });
                const change = { kind: "put" as const, record: { kind: "key" as const, teamId, key: record } };
                const result = await editor.publish(view, [change], { message: `create key ${record.keyId}` });
                return { ...keyObject(record), key: secret, revision: result.revision };
            },
        },
        {
            method: "DELETE",
            path: "/teams/:teamId/keys/:keyId",
            roles: roleSets.operators,
            handle: async ({ caller, parameter }) => {
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                const { teamId, keys } = editor.team(view, parameter("teamId"));
                const key = keys.find(candidate => candidate.keyId === parameter("keyId"));
                if (key === undefined) {
                    throw notFound("key", parameter("keyId"));
                }
                requireAnotherPlatformKey(view, key);
                const revoked = { ...key, revokedAtMs: key.revokedAtMs ?? Math.round(opts.clock.nowMs()) };
                const change = { kind: "put" as const, record: { kind: "key" as const, teamId, key: revoked } };
                return publishResultObject(
                    await editor.publish(view, [change], { message: `revoke key ${key.keyId}` }),
                );
            },
        },
    ];
}

/** Throws `LAST_PLATFORM_KEY` (409) if platform operators would lose their last key and so their access. */
function requireAnotherPlatformKey(view: ConfigurationView, revoked: KeyRecord): void {
    const others = view.teams()
        .flatMap(team => team.keys)
        .filter(key => key.role === "platform-operator" && key.revokedAtMs === undefined)
        .filter(key => key.keyId !== revoked.keyId);
    if (revoked.role === "platform-operator" && others.length === 0) {
        throw new KnapweedError("LAST_PLATFORM_KEY", "This is the last key of a platform operator", {
            statusCode: 409,
            outcome: "not-run",
            hint: "Create another one first.",
        });
    }
}
