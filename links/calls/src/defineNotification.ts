import type { NotificationDefinition } from "./notificationDefinition.js";

/** Defines a typed one-way message between processes. */
export function defineNotification<Message>(name: string): NotificationDefinition<Message> {
    return { name };
}
