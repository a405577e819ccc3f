import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { RecordKey } from "@knapweedwood/config.publishing/recordKey";
import { bodySchemas } from "./bodySchemas.js";
import { canManageTeam } from "./canManageTeam.js";
import { ConfigurationEditor } from "./configurationEditor.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { parseBody } from "./parseBody.js";
import { publishResultObject } from "./publishResultObject.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";

/**
 * Returns the routes for services. Services are created and changed by publishing files. Their limits can also be
 * changed separately.
 */
export function serviceRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/services",
            roles: roleSets.operators,
            handle: async ({ caller }) => {
                const view = await new ConfigurationEditor(opts, caller).latest();
                return { services: view.services().filter(service => canManageTeam(caller, service.team)) };
            },
        },
        {
            method: "GET",
            path: "/services/:name",
            roles: roleSets.operators,
            handle: async ({ caller, parameter }) => {
                const editor = new ConfigurationEditor(opts, caller);
                return editor.service(await editor.latest(), parameter("name"));
            },
        },
        {
            method: "PUT",
            path: "/services/:name/limits",
            roles: roleSets.operators,
            handle: async ({ caller, parameter, body }) => {
                const limits = parseBody(bodySchemas.limits, body);
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                const service = { ...editor.service(view, parameter("name")), limits } as ServiceDefinition;
                const change = { kind: "put" as const, record: { kind: "service" as const, service } };
                return publishResultObject(
                    await editor.publish(view, [change], { message: `limits of service ${service.name}` }),
                );
            },
        },
        {
            method: "DELETE",
            path: "/services/:name",
            roles: roleSets.operators,
            handle: async ({ caller, parameter }) => {
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.latest();
                const { name } = editor.service(view, parameter("name"));
                const change = { kind: "remove" as const, recordKey: `service/${name}` as RecordKey };
                return publishResultObject(await editor.publish(view, [change], { message: `delete service ${name}` }));
            },
        },
    ];
}
