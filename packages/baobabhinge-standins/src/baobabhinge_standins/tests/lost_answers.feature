Feature: What is said of a request whose answer was lost is true

  Scenario Outline: A backend server runs a call and its answer is lost
    When a <method> reaches a backend server that runs it and cuts its answer
    Then no backend server has run the <method> twice

    Examples:
      | method |
      | GET    |
      | PUT    |
      | DELETE |
      | POST   |

  Scenario: A publication whose answer was lost is sent again after another one
    Given the key-value service goes down as it accepts a publication
    When the key-value service is back
    And another operator publishes another text of the file
    And the first operator publishes again with the same identifier
    Then the operator is told "accepted as generation" of the first publication
    And the text of the other operator is in force
    And each of the two was published once

  Scenario: A publication whose answer was lost is sent again too early
    Given the key-value service goes down as it accepts a publication
    When the first operator publishes again with the same identifier
    Then the operator is told that it may have been accepted
    When the key-value service is back
    And the first operator publishes again with the same identifier
    Then the operator is told "accepted as generation" of the first publication
