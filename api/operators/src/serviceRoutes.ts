import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { RecordKey } from "@knapweedwood/config.publishing/recordKey";
import { bodySchemas } from "./bodySchemas.js";
import { ConfigurationEditor } from "./configurationEditor.js";
import { mayTouchTeam } from "./canManageTeam.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { parseBody } from "./parseBody.js";
import { publishAnswer } from "./publishResultObject.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";

/** Services. They are created and changed by publishing files; limits can be changed by themselves. */
export function serviceRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/services",
            roles: roleSets.operators,
            handle: async ({ caller }) => {
                const view = await new ConfigurationEditor(opts, caller).newest();
                return { services: view.services().filter(service => mayTouchTeam(caller, service.team)) };
            },
        },
        {
            method: "GET",
            path: "/services/:name",
            roles: roleSets.operators,
            handle: async ({ caller, parameter }) => {
                const editor = new ConfigurationEditor(opts, caller);
                return editor.service(await editor.newest(), parameter("name"));
            },
        },
        {
            method: "PUT",
            path: "/services/:name/limits",
            roles: roleSets.operators,
            handle: async ({ caller, parameter, body }) => {
                const limits = parseBody(bodySchemas.limits, body);
                const editor = new ConfigurationEditor(opts, caller);
                const view = await editor.newest();
                const service = { ...editor.service(view, parameter("name")), limits } as ServiceDefinition;
                const change = { kind: "put" as const, record: { kind: "service" as const, service } };
                return publishAnswer(
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
                const view = await editor.newest();
                const { name } = editor.service(view, parameter("name"));
                const change = { kind: "remove" as const, recordKey: `service/${name}` as RecordKey };
                return publishAnswer(await editor.publish(view, [change], { message: `delete service ${name}` }));
            },
        },
    ];
}
