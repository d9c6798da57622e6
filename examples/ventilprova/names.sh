engine=drafting-llm
plain=cert-registry
