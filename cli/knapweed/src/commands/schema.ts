import { serviceFileJsonSchema } from "@knapweedwood/config.service-files/serviceFileJsonSchema";
import { entrySettingsSchema } from "@knapweedwood/config.settings/entrySettingsSchema";
import { sideSettingsSchema } from "@knapweedwood/config.settings/sideSettingsSchema";
import { Args } from "@oclif/core";
import { z } from "zod";
import { KnapweedCommand } from "../knapweedCommand.js";

const KINDS = ["service-file", "entry-settings", "side-settings"] as const;

/** Prints the JSON Schema of service files or of settings, for use in editors. */
export default class Schema extends KnapweedCommand {
    static override description = "print the JSON Schema of service files or settings, for editors";
    static override args = {
        kind: Args.option({ options: KINDS })({ description: "type of file", required: true }),
    };

    async run(): Promise<unknown> {
        const { args } = await this.parse(Schema);
        const schema = schemaOf(args.kind);
        this.log(JSON.stringify(schema, undefined, 4));
        return schema;
    }
}

function schemaOf(kind: typeof KINDS[number]): object {
    switch (kind) {
        case "service-file":
            return serviceFileJsonSchema();
        case "entry-settings":
            return z.toJSONSchema(entrySettingsSchema, { io: "input" });
        case "side-settings":
            return z.toJSONSchema(sideSettingsSchema, { io: "input" });
    }
}
