import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { mayCall } from "./mayCall.js";

const LIST_PATH = "/v1/models";

/**
 * Returns the models that a team may call, or the one whose name is in the path, in the format of the OpenAI API.
 * Throws `MODEL_UNKNOWN` (404).
 */
export function modelObjects(view: ConfigurationView, teamId: TeamId, path: string): object {
    const models = view.services()
        .filter(service => mayCall(service, teamId))
        .flatMap(service => modelNames(service).map(name => modelObject(name, service)));
    if (path === LIST_PATH) {
        return { object: "list", data: models };
    }
    const name = decodeURIComponent(path.slice(LIST_PATH.length + 1));
    const model = models.find(candidate => candidate.id === name);
    if (model === undefined) {
        throw new KnapweedError("MODEL_UNKNOWN", `There is no model ${name}`, {
            statusCode: 404,
            outcome: "not-run",
            parameter: "model",
        });
    }
    return model;
}

function modelNames(service: ServiceDefinition): string[] {
    return service.models.flatMap(model => [model.name, ...model.adapters.map(adapter => adapter.name)]);
}

function modelObject(name: string, service: ServiceDefinition) {
    return { id: name, object: "model", created: 0, owned_by: service.team };
}
